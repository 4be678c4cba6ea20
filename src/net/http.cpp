#include "persimmongrade/http.h"

#include <h2o.h>

namespace persimmongrade {

namespace {

std::optional<std::string_view> find_header(const std::vector<http_header>& headers, std::string_view name) {
    for (const http_header& header : headers) {
        if (header.name == name) {
            return header.value;
        }
    }
    return std::nullopt;
}

int hex_digit(char c) {
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    if (c >= 'A' && c <= 'F') {
        return c - 'A' + 10;
    }
    return -1;
}

std::string percent_decode(std::string_view text) {
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        bool escape =
            text[i] == '%' && i + 2 < text.size() && hex_digit(text[i + 1]) >= 0 && hex_digit(text[i + 2]) >= 0;
        if (escape) {
            decoded += static_cast<char>(hex_digit(text[i + 1]) * 16 + hex_digit(text[i + 2]));
            i += 2;
            continue;
        }
        decoded += text[i] == '+' ? ' ' : text[i];
    }
    return decoded;
}

}  // namespace

std::optional<std::string_view> http_request::header(std::string_view lower_case_name) const {
    return find_header(this->headers, lower_case_name);
}

std::optional<std::string> http_request::query_value(std::string_view name) const {
    std::string_view rest = this->query;
    while (!rest.empty()) {
        std::string_view pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        std::string_view key = pair.substr(0, pair.find('='));
        if (key == name) {
            return percent_decode(pair.size() == key.size() ? std::string_view() : pair.substr(key.size() + 1));
        }
    }
    return std::nullopt;
}

std::optional<std::string_view> http_response::header(std::string_view lower_case_name) const {
    return find_header(this->headers, lower_case_name);
}

bool is_valid_response_status(int status) {
    constexpr int lowest_status = 100;
    constexpr int highest_status = 599;
    constexpr int status_switching_protocols = 101;
    return status >= lowest_status && status <= highest_status && status != status_switching_protocols;
}

http_response json_response(int status, std::string body) {
    return {status, {{"content-type", "application/json"}}, std::move(body)};
}

}  // namespace persimmongrade
