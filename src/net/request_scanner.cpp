#include "request_scanner.h"

#include <algorithm>
#include <array>

namespace persimmongrade {

namespace {

constexpr std::size_t max_header_lines = 100;    // h2o's parser refuses more
constexpr std::size_t max_header_bytes = 65536;  // below h2o's own limit of 417,792
constexpr std::string_view version_prefix = "HTTP/1.";

constexpr std::array<bool, 256> make_token_table() {
    std::array<bool, 256> table{};
    for (unsigned char c : std::string_view("!#$%&'*+-.^_`|~0123456789"
                                            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz")) {
        table.at(c) = true;
    }
    return table;
}

// Bytes that are legal in no line.
constexpr std::array<bool, 256> make_control_table() {
    std::array<bool, 256> table{};
    for (std::size_t c = 0; c < ' '; ++c) {
        table.at(c) = c != '\t';
    }
    table.at(0x7f) = true;
    return table;
}

constexpr std::array<bool, 256> token_bytes = make_token_table();
constexpr std::array<bool, 256> control_bytes = make_control_table();

bool is_token(std::string_view text) {
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
        return token_bytes[static_cast<unsigned char>(c)];  // the index is always in bounds
    });
}

bool is_request_line(std::string_view line) {
    std::size_t first = line.find(' ');
    std::size_t last = line.rfind(' ');
    if (first == std::string_view::npos || last <= first + 1) {
        return false;
    }
    std::string_view target = line.substr(first + 1, last - first - 1);
    std::string_view version = line.substr(last + 1);
    return is_token(line.substr(0, first)) && target.find_first_of(" \t") == std::string_view::npos &&
           version.size() == version_prefix.size() + 1 && version.starts_with(version_prefix) &&
           version.back() >= '0' && version.back() <= '9';
}

// A line that continues the one before it begins with a blank. It is refused, as RFC 9112 demands.
bool is_header_line(std::string_view line) {
    std::size_t colon = line.find(':');
    return colon != std::string_view::npos && is_token(line.substr(0, colon));
}

}  // namespace

scan_status request_scanner::scan(std::string_view input) {
    for (; this->position < input.size(); ++this->position) {
        char c = input[this->position];
        if (!control_bytes[static_cast<unsigned char>(c)]) {
            continue;
        }
        if (c == '\r') {
            if (this->position + 1 == input.size()) {
                break;
            }
            if (input[this->position + 1] == '\n') {
                continue;
            }
        }
        if (c != '\n') {
            return scan_status::malformed;
        }
        std::string_view line = input.substr(this->line_start, this->position - this->line_start);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        this->line_start = this->position + 1;
        if (!this->accept_line(line)) {
            return scan_status::malformed;
        }
        if (this->ended) {
            ++this->position;
            return scan_status::complete;
        }
    }
    return this->position >= max_header_bytes ? scan_status::too_large : scan_status::incomplete;
}

bool request_scanner::accept_line(std::string_view line) {
    std::size_t number = this->lines++;
    if (number == 0) {
        return is_request_line(line);
    }
    this->ended = line.empty();
    return this->ended || (number <= max_header_lines && is_header_line(line));
}

}  // namespace persimmongrade
