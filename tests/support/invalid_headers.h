// Header lines of answers whose name isn't valid, for tests of clients.

#pragma once

#include <string>
#include <vector>

namespace persimmongrade {

inline std::vector<std::string> invalid_header_lines() {
    std::vector<std::string> lines = {
        "Content-Length : 5",
        "Content-Length\t: 5",
        "Content Length: 5",
        "Transfer-Encoding : chunked",
        "X-A: b\r\n folded",
        "X-A: b\r\n\tfolded",
        "X-A: b\r\n Content-Length: 3",
        ": empty",
        " : blank",
        "no colon",
    };
    for (char control : {'\x01', '\b', '\t', '\v', '\x1f', ' ', '\x7f', '\0'}) {
        lines.push_back(std::string("X-A") + control + ": name ends with it");
        lines.push_back(std::string("X") + control + "A: name holds it");
    }
    return lines;
}

}  // namespace persimmongrade
