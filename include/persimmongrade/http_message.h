// Strict parser of HTTP/1.1 message heads and bodies. Ambiguous messages, which two parsers could interpret
// differently, are malformed; this prevents request smuggling.

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
    std::string target;  // of a request: path and query as received, not decoded
    int status = 0;      // of a response
    bool keep_alive = true;
    body_framing framing = body_framing::none;
    std::size_t content_length = 0;
    std::vector<http_header> headers;  // names as received
    std::size_t bytes = 0;             // size of the head in the input

    const std::string* header(std::string_view name) const;  // ignores case; the first match, or null
};

bool equals_ignore_case(std::string_view a, std::string_view b);  // ASCII only
// Whether the header concerns one connection only and must not be forwarded: it is hop-by-hop by definition, or listed
// in the message's Connection header.
bool is_hop_by_hop(const message_head& head, std::string_view name);

// Parse the head at the beginning of `input`, which may hold more. `too_large`: the head exceeds `max_bytes`. For the
// response to a HEAD request, `answers_head_request` tells that it has no body. A response with an invalid status (see
// is_valid_response_status) is malformed.
parse_status parse_request_head(std::string_view input, std::size_t max_bytes, message_head& head);
parse_status parse_response_head(std::string_view input, std::size_t max_bytes, bool answers_head_request,
                                 message_head& head);

// Incremental decoder of one message body from a stream of bytes.
class body_reader {
public:
    body_reader() = default;
    body_reader(body_framing framing, std::size_t length, std::size_t max_bytes);

    // Appends input to the body, at most up to the end of the body, and sets `used` to the number of input bytes
    // consumed. `too_large`: the body exceeds the limit of bytes.
    parse_status read(std::string_view input, std::size_t& used);
    std::string& body() { return this->bytes; }

private:
    body_framing framing = body_framing::none;
    std::size_t remaining = 0;
    std::size_t framed_bytes = 0;  // of a chunked body, read with its framing
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
