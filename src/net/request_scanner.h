// Checks the header of an HTTP/1 request while it arrives, each byte once. It accepts only what the parser of h2o 2.2.5
// accepts: that parser answers everything else with a plain text of its own.

#pragma once

#include <cstddef>
#include <string_view>

namespace persimmongrade {

enum class scan_status { incomplete, complete, malformed, too_large };

class request_scanner {
public:
    // `input` is all that has arrived of the request; each call continues where the last one stopped.
    scan_status scan(std::string_view input);

    std::size_t header_bytes() const { return this->line_start; }  // once complete; includes the empty line

private:
    bool accept_line(std::string_view line);

    std::size_t position = 0;    // next byte to look at
    std::size_t line_start = 0;  // of the line that is arriving
    std::size_t lines = 0;
    bool ended = false;
};

}  // namespace persimmongrade
