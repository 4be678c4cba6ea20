#include "persimmongrade/report_stream.h"

#include <algorithm>
#include <utility>

namespace persimmongrade {

bool report_stream::must_resend(time_point now, std::uint64_t known_number, std::size_t queued_bytes) {
    // Numbers of an earlier start of this process, or a new start of the receiver.
    bool has_reconnected = std::exchange(this->is_reconnected, false);
    bool has_restarted = known_number > this->sent_number || known_number < this->known_number;
    this->sent_number = std::max(this->sent_number, known_number);
    if (std::exchange(this->is_new, false) || has_restarted) {
        this->known_number = known_number;
        this->behind_since.reset();
        this->timeout = report_resend_timeout;
        return true;
    }
    bool has_progressed = std::exchange(this->known_number, known_number) != known_number;
    if (known_number == this->sent_number) {
        this->timeout = report_resend_timeout;
    }
    if (has_reconnected && known_number != this->sent_number) {
        this->behind_since.reset();
        return true;
    }
    if (known_number == this->sent_number || has_progressed || queued_bytes > 0) {
        this->behind_since.reset();
        return false;
    }
    if (!this->behind_since) {
        this->behind_since = now;
    }
    if (now - *this->behind_since < this->timeout) {
        return false;
    }
    this->behind_since.reset();
    this->timeout = std::min(this->timeout * 2, max_report_resend_timeout);
    return true;
}

void received_reports::receive(const wire::target_reports_t& message) {
    bool is_next = message.number == this->last_number + 1;
    bool begins_again = message.full && !message.continues;
    if (message.number != 0 && (is_next || begins_again)) {
        this->last_number = message.number;
    }
}

}  // namespace persimmongrade
