// Transfer of changed items from control processes to gateways, in parts of bounded size. Free of I/O.
//
//     item_stream stream;                                       // control process, one for each gateway
//     stream.acknowledge(held, number, connection);             // each statement of the gateway
//     while (auto request = stream.next(store, connection)) {
//         auto message = parts.make(store, *request);           // one item_parts for all gateways
//         message.number = stream.next_number();
//         if (!send(message)) { break; }
//         stream.sent(*request, message);
//     }
//
//     item_receiver receiver(store);                            // gateway
//     receiver.receive(message);                                // then states receiver.held() and message.number
//
// What a control process takes a gateway to hold rests on the gateway's statements. A part counts as on its way while
// its connection lasts, and as lost once the connection has another number, or once the gateway has received it and
// still does not hold it. Nothing is repeated because of time alone.
//
// A transfer brings the gateway to the log index `upto`. Its parts hold the items that changed after the index that the
// gateway has applied, in the order of their keys. The gateway puts them in force together, once the last part has
// arrived. Every control process has the same log, so one that has applied `upto` can go on after the last part of
// another one: it sends each remaining item in the version that it has. Evacuations and departures go ahead of the
// parts, and are in force at once.

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <tuple>
#include <vector>

#include "persimmongrade/item_store.h"

namespace persimmongrade {

inline constexpr std::size_t max_part_bytes = 128u << 10;              // items of one part before compression
inline constexpr std::size_t max_unconfirmed_items_bytes = 64u << 10;  // unacknowledged by one gateway
inline constexpr std::size_t min_packed_bytes = 2048;                  // smaller parts are not compressed

// What a gateway holds: every change up to `applied`; and of a transfer to `upto` the items up to the key `last`.
struct item_progress {
    std::uint64_t applied = 0;
    std::uint64_t upto = 0;  // 0: no transfer is in progress
    item_key last{};

    bool reaches(const item_progress& other) const;
    bool operator==(const item_progress&) const = default;
};

item_progress progress_of(const wire::items_ack_t& ack);
wire::items_ack_t ack_of(const item_progress& progress, std::uint64_t number);

struct item_part_request {
    item_progress after;
    std::uint64_t upto = 0;             // 0: only evacuations and departures
    std::uint64_t announced_after = 0;  // of evacuations and departures
    bool whole = false;                 // one uncompressed message, for gateways of earlier builds
};

// What one control process has sent to one gateway.
class item_stream {
public:
    void set_takes_parts(bool takes) { this->takes_parts = takes; }
    // `number` is that of the last message that the gateway has received, `connection` that of the present connection.
    void acknowledge(const item_progress& stated, std::uint64_t number, std::uint64_t connection);
    // What to send now, if anything.
    std::optional<item_part_request> next(const item_store& store, std::uint64_t connection);
    std::uint64_t next_number() const noexcept { return this->last_number + 1; }
    void sent(const item_part_request& request, const wire::items_delta_t& message);

    // Once everything that is on its way has arrived.
    const item_progress& expected() const noexcept { return this->expected_progress; }
    std::uint64_t losses() const noexcept { return this->loss_count; }  // since the start of the stream

private:
    struct unconfirmed {
        std::uint64_t number;
        std::size_t bytes;
        item_progress after;
        bool counts;  // false: a message before it was lost, so that the gateway cannot use it
    };

    void use(std::uint64_t connection);
    void restart();

    bool takes_parts = true;
    std::uint64_t connection = 0;
    std::uint64_t last_number = 0;
    std::uint64_t announced = 0;  // evacuations and departures up to this log index were sent
    std::uint64_t loss_count = 0;
    item_progress stated_progress;
    item_progress expected_progress;
    std::deque<unconfirmed> in_flight;
    std::size_t in_flight_bytes = 0;
};

// Makes the messages. Gateways that hold the same get the same part, which is compressed once.
class item_parts {
public:
    explicit item_parts(std::size_t part_bytes = max_part_bytes) : part_bytes(part_bytes) {}

    wire::items_delta_t make(const item_store& store, const item_part_request& request);

private:
    struct part {
        std::vector<wire::item_t> items;   // of a small part, or
        std::vector<std::uint8_t> packed;  // compressed, of this many bytes:
        std::uint32_t unpacked_bytes = 0;
        std::optional<item_key> ends_at;
    };
    // Index that the gateway has applied, whether the part is the first one, and the key that it follows.
    using part_key = std::tuple<std::uint64_t, bool, item_key>;

    const part& part_after(const item_store& store, const item_part_request& request);

    std::size_t part_bytes;
    std::uint64_t made_at = 0;  // log index of the store
    std::map<part_key, part> made;
};

enum class items_outcome : std::uint8_t {
    applied,        // items are in force
    stored,         // a part, in force together with those that follow
    known,          // no item is new
    lacks_earlier,  // what comes before has not arrived
    unreadable,
};

struct items_result {
    items_outcome outcome = items_outcome::known;
    bool has_announced = false;  // evacuations or departures are new, whatever becomes of the items
    std::size_t applied_items = 0;

    bool operator==(const items_result&) const = default;
};

class item_receiver {
public:
    explicit item_receiver(item_store& store) : store(store) {}

    items_result receive(const wire::items_delta_t& message);
    item_progress held() const;

private:
    items_result receive_items(const wire::items_delta_t& message);

    item_store& store;
    std::uint64_t upto = 0;  // of the transfer in progress; 0: none
    item_key last{};
    std::vector<std::unique_ptr<wire::item_t>> waiting;
};

}  // namespace persimmongrade
