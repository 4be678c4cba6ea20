// HTTP values shared by the server and the client.

#pragma once

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmongrade {

struct http_header {
    std::string name;  // lower case
    std::string value;

    auto operator<=>(const http_header&) const = default;
};

struct http_request {
    std::string method;
    std::string path;   // without the query
    std::string query;  // without the '?'
    std::vector<http_header> headers;
    std::string body;
    std::string peer_ip;

    std::optional<std::string_view> header(std::string_view lower_case_name) const;  // first match
    std::optional<std::string> query_value(std::string_view name) const;             // percent-decoded

    auto operator<=>(const http_request&) const = default;
};

struct http_response {
    int status = 200;
    std::vector<http_header> headers;
    std::string body;

    std::optional<std::string_view> header(std::string_view lower_case_name) const;

    auto operator<=>(const http_response&) const = default;
};

// Whether a response may have this status. 101 (Switching Protocols) is invalid too: no request of this project asks
// for an upgrade, and the bytes after a 101 are not HTTP/1.1.
bool is_valid_response_status(int status);

http_response json_response(int status, std::string body);

}  // namespace persimmongrade
