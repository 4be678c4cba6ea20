#include "persimmongrade/http_message.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>

// Declarations of picohttpparser, which libh2o contains and exports. Debian's package does not install its header.
extern "C" {
struct phr_header {
    const char* name;
    std::size_t name_len;
    const char* value;
    std::size_t value_len;
};
int phr_parse_request(const char* buf, std::size_t len, const char** method, std::size_t* method_len, const char** path,
                      std::size_t* path_len, int* minor_version, phr_header* headers, std::size_t* num_headers,
                      std::size_t last_len);
int phr_parse_response(const char* buf, std::size_t len, int* minor_version, int* status, const char** msg,
                       std::size_t* msg_len, phr_header* headers, std::size_t* num_headers, std::size_t last_len);
struct phr_chunked_decoder {
    std::size_t bytes_left_in_chunk;
    char consume_trailer;
    char hex_count;
    char state;
};
std::ptrdiff_t phr_decode_chunked(phr_chunked_decoder* decoder, char* buf, std::size_t* bufsz);
}

namespace persimmongrade {

namespace {

constexpr std::size_t max_header_lines = 100;
// Chunk sizes, extensions and trailers: this many bytes beyond a multiple of the body.
constexpr std::size_t spare_framing_bytes = 65536;
constexpr std::size_t max_framing_factor = 16;  // chunks of one byte need 6
constexpr int parse_incomplete = -2;            // return value of picohttpparser
constexpr int first_final_status = 200;
constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;

constexpr std::array<std::string_view, 9> hop_by_hop_headers = {
    "connection", "keep-alive",        "proxy-connection", "proxy-authenticate", "proxy-authorization", "te",
    "trailer",    "transfer-encoding", "upgrade"};

char to_lower(char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string_view trimmed(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
        text.remove_suffix(1);
    }
    return text;
}

bool list_contains(std::string_view list, std::string_view word) {
    while (!list.empty()) {
        std::size_t comma = list.find(',');
        if (equals_ignore_case(trimmed(list.substr(0, comma)), word)) {
            return true;
        }
        list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
    }
    return false;
}

// Returns false when a header line is a continuation line, or when a value contains a control character.
bool copy_headers(const phr_header* headers, std::size_t count, message_head& head) {
    head.headers.clear();
    head.headers.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        if (headers[i].name == nullptr || headers[i].name_len == 0) {
            return false;
        }
        std::string_view value(headers[i].value, headers[i].value_len);
        bool control = std::any_of(value.begin(), value.end(), [](char c) {
            return (static_cast<unsigned char>(c) < ' ' && c != '\t') || c == '\x7f';
        });
        if (control) {
            return false;
        }
        head.headers.push_back({std::string(headers[i].name, headers[i].name_len), std::string(trimmed(value))});
    }
    return true;
}

// Determines the framing of the body. Returns false when the headers are ambiguous or invalid.
bool read_framing(message_head& head, bool is_request, int minor_version) {
    std::optional<std::string> length;
    bool chunked = false;
    bool close = false;
    bool keep = false;
    for (const http_header& header : head.headers) {
        if (equals_ignore_case(header.name, "content-length")) {
            if (length && *length != header.value) {
                return false;
            }
            if (length && is_request) {
                return false;
            }
            length = header.value;
        } else if (equals_ignore_case(header.name, "transfer-encoding")) {
            if (chunked || !equals_ignore_case(header.value, "chunked") || minor_version == 0) {
                return false;
            }
            chunked = true;
        } else if (equals_ignore_case(header.name, "connection")) {
            close = close || list_contains(header.value, "close");
            keep = keep || list_contains(header.value, "keep-alive");
        }
    }
    if (length && chunked) {
        return false;
    }
    head.keep_alive = !close && (minor_version >= 1 || keep);
    if (chunked) {
        head.framing = body_framing::chunked;
        return true;
    }
    if (!length) {
        head.framing = is_request ? body_framing::none : body_framing::until_close;
        head.content_length = 0;
        return true;
    }
    bool digits = !length->empty() && length->size() <= 15 &&
                  std::all_of(length->begin(), length->end(), [](char c) { return c >= '0' && c <= '9'; });
    if (!digits) {
        return false;
    }
    std::from_chars(length->data(), length->data() + length->size(), head.content_length);
    head.framing = head.content_length == 0 ? body_framing::none : body_framing::length;
    return true;
}

bool has_one_host(const message_head& head, int minor_version) {
    auto hosts = std::count_if(head.headers.begin(), head.headers.end(),
                               [](const http_header& header) { return equals_ignore_case(header.name, "host"); });
    return hosts == 1 || (hosts == 0 && minor_version == 0);
}

parse_status status_of(int result, std::size_t input, std::size_t max_bytes) {
    if (result == parse_incomplete) {
        return input > max_bytes ? parse_status::too_large : parse_status::incomplete;
    }
    if (result < 0) {
        return parse_status::malformed;
    }
    return static_cast<std::size_t>(result) > max_bytes ? parse_status::too_large : parse_status::complete;
}

}  // namespace

bool equals_ignore_case(std::string_view a, std::string_view b) {
    return a.size() == b.size() &&
           std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return to_lower(x) == to_lower(y); });
}

const std::string* message_head::header(std::string_view name) const {
    for (const http_header& entry : this->headers) {
        if (equals_ignore_case(entry.name, name)) {
            return &entry.value;
        }
    }
    return nullptr;
}

bool is_hop_by_hop(const message_head& head, std::string_view name) {
    bool listed = std::any_of(hop_by_hop_headers.begin(), hop_by_hop_headers.end(),
                              [&](std::string_view known) { return equals_ignore_case(known, name); });
    const std::string* named = listed ? nullptr : head.header("connection");
    return listed || (named != nullptr && list_contains(*named, name));
}

parse_status parse_request_head(std::string_view input, std::size_t max_bytes, message_head& head) {
    const char* method = nullptr;
    const char* path = nullptr;
    std::size_t method_size = 0;
    std::size_t path_size = 0;
    int minor_version = 0;
    std::array<phr_header, max_header_lines> headers;  // not initialized: it is only written
    std::size_t count = headers.size();
    int result = phr_parse_request(input.data(), input.size(), &method, &method_size, &path, &path_size, &minor_version,
                                   headers.data(), &count, 0);
    parse_status status = status_of(result, input.size(), max_bytes);
    if (status != parse_status::complete) {
        return status;
    }
    head.bytes = static_cast<std::size_t>(result);
    head.method.assign(method, method_size);
    head.target.assign(path, path_size);
    bool valid = copy_headers(headers.data(), count, head) && read_framing(head, true, minor_version) &&
                 has_one_host(head, minor_version) && head.target.starts_with('/');
    return valid ? parse_status::complete : parse_status::malformed;
}

parse_status parse_response_head(std::string_view input, std::size_t max_bytes, bool answers_head_request,
                                 message_head& head) {
    const char* reason = nullptr;
    std::size_t reason_size = 0;
    int minor_version = 0;
    std::array<phr_header, max_header_lines> headers;  // not initialized: it is only written
    std::size_t count = headers.size();
    int result = phr_parse_response(input.data(), input.size(), &minor_version, &head.status, &reason, &reason_size,
                                    headers.data(), &count, 0);
    parse_status status = status_of(result, input.size(), max_bytes);
    if (status != parse_status::complete) {
        return status;
    }
    head.bytes = static_cast<std::size_t>(result);
    // picohttpparser accepts any three digits as a status.
    if (!is_valid_response_status(head.status) || !copy_headers(headers.data(), count, head) ||
        !read_framing(head, false, minor_version)) {
        return parse_status::malformed;
    }
    bool bodiless = answers_head_request || head.status < first_final_status || head.status == status_no_content ||
                    head.status == status_not_modified;
    if (bodiless) {
        head.framing = body_framing::none;
    }
    return parse_status::complete;
}

body_reader::body_reader(body_framing framing, std::size_t length, std::size_t max_bytes)
    : framing(framing), remaining(length), max_bytes(max_bytes) {
    if (framing == body_framing::length) {
        constexpr std::size_t max_reserved_bytes = 65536;  // the stated length is not trusted
        this->bytes.reserve(std::min({length, max_bytes, max_reserved_bytes}));
    }
}

parse_status body_reader::read(std::string_view input, std::size_t& used) {
    used = 0;
    if (this->framing == body_framing::none) {
        return parse_status::complete;
    }
    if (this->framing == body_framing::chunked) {
        std::size_t start = this->bytes.size();
        this->bytes.append(input);
        std::size_t size = input.size();
        phr_chunked_decoder decoder{this->chunks.bytes_left_in_chunk, this->chunks.consume_trailer,
                                    this->chunks.hex_count, this->chunks.state};
        std::ptrdiff_t result = phr_decode_chunked(&decoder, this->bytes.data() + start, &size);
        this->chunks = {decoder.bytes_left_in_chunk, decoder.consume_trailer, decoder.hex_count, decoder.state};
        this->bytes.resize(start + size);
        this->framed_bytes += input.size();
        bool endless = this->framed_bytes > max_framing_factor * this->bytes.size() + spare_framing_bytes;
        if (this->bytes.size() > this->max_bytes || endless) {
            return parse_status::too_large;
        }
        if (result == parse_incomplete) {
            used = input.size();
            return parse_status::incomplete;
        }
        if (result < 0) {
            return parse_status::malformed;
        }
        used = input.size() - static_cast<std::size_t>(result);
        return parse_status::complete;
    }
    used = this->framing == body_framing::length ? std::min(this->remaining, input.size()) : input.size();
    if (this->bytes.size() + used > this->max_bytes) {
        return parse_status::too_large;
    }
    this->bytes.append(input.substr(0, used));
    if (this->framing == body_framing::length) {
        this->remaining -= used;
        return this->remaining == 0 ? parse_status::complete : parse_status::incomplete;
    }
    return parse_status::incomplete;  // the body ends when the connection is closed
}

const char* reason_phrase(int status) {
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return status < 400 ? "OK" : "Error";
    }
}

}  // namespace persimmongrade
