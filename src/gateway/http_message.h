// Heads and bodies of HTTP/1.1 messages, strictly parsed. What two parsers could read differently is malformed.

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "persimmongrade/http.h"

namespace persimmongrade {

enum class parse_status : std::uint8_t { complete, incomplete, malformed, too_large };

enum class body_framing : std::uint8_t { none, length, chunked, until_close };

struct message_head {
    std::string method;  // of a request
    std::string target;  // of a request: path and query as received
    int status = 0;      // of a response
    bool keep_alive = true;
    body_framing framing = body_framing::none;
    std::size_t content_length = 0;
    std::vector<http_header> headers;  // names as received
    std::size_t bytes = 0;             // of the head in the input

    const std::string* header(std::string_view name) const;  // any case; first match
};

bool same_name(std::string_view a, std::string_view b);  // ASCII, any case
bool concerns_one_connection(const message_head& head, std::string_view name);

parse_status parse_request_head(std::string_view input, std::size_t max_bytes, message_head& head);
parse_status parse_response_head(std::string_view input, std::size_t max_bytes, bool answers_head_request,
                                 message_head& head);

// Takes the bytes of one body out of a stream.
class body_reader {
public:
    body_reader() = default;
    body_reader(body_framing framing, std::size_t length, std::size_t max_bytes);

    // Appends to the body, at most up to its end, and returns how many bytes of the input were used. `too_large`: the
    // limit is exceeded.
    parse_status read(std::string_view input, std::size_t& used);
    std::string& body() { return this->bytes; }

private:
    body_framing framing = body_framing::none;
    std::size_t left = 0;
    std::size_t max_bytes = 0;
    std::string bytes;
    struct chunk_state {
        std::size_t bytes_left_in_chunk = 0;
        char consume_trailer = 1;
        char hex_count = 0;
        char state = 0;
    } chunks;
};

const char* reason_phrase(int status);

}  // namespace persimmongrade
