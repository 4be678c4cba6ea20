// Numbers the messages with reports of targets to one receiver, and decides when everything is sent again. Free of I/O.
//
//     message.number = stream.next();
//     if (stream.must_resend(now, ping.reports_number, peers.queued_bytes(id))) { send everything }
//
//     received.receive(message);                                // the receiver, which states received.number()
//
// The receiver states the last number that came without a gap. A number that stays behind means a lost message, unless
// the receiver is only slow: everything again, while the last copy is still on its way, makes a slow link slower. So
// the wait begins when nothing is queued for the receiver, and doubles with each copy that brought no progress. What
// the receiver lacks when its connection ends is lost for certain.

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "fleet_generated.h"
#include "persimmongrade/clock.h"

namespace persimmongrade {

// Longer than two pings and a round trip between regions.
inline constexpr duration report_resend_timeout = ms(700);
inline constexpr duration max_report_resend_timeout = ms(6000);

class report_stream {
public:
    std::uint64_t next() { return ++this->sent_number; }
    // The receiver needs everything, for example because it now takes its reports from this process.
    void restart() { this->is_new = true; }
    // The connection to the receiver has ended, and another one is open.
    void reconnected() {
        this->is_reconnected = true;
        this->timeout = report_resend_timeout;
    }
    // For each statement of the receiver. True: send everything now.
    bool must_resend(time_point now, std::uint64_t known_number, std::size_t queued_bytes);

private:
    std::uint64_t sent_number = 0;
    std::uint64_t known_number = 0;          // as last stated
    std::optional<time_point> behind_since;  // no progress since then, with nothing queued
    duration timeout = report_resend_timeout;
    bool is_new = true;
    bool is_reconnected = false;  // since the last statement
};

// What has arrived from one sender.
class received_reports {
public:
    void receive(const wire::target_reports_t& message);
    std::uint64_t number() const noexcept { return this->last_number; }  // of the last message without a gap; 0: none

private:
    std::uint64_t last_number = 0;
};

}  // namespace persimmongrade
