#include "forwarded_headers.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace persimmongrade {

namespace {

constexpr std::array<std::string_view, 13> hop_headers{"connection",
                                                       "content-length",
                                                       "date",
                                                       "expect",
                                                       "host",
                                                       "keep-alive",
                                                       "persimmon-deadline-ms",
                                                       "proxy-connection",
                                                       "server",
                                                       "te",
                                                       "trailer",
                                                       "transfer-encoding",
                                                       "upgrade"};

bool is_hop_header(const http_header& header) {
    return std::find(hop_headers.begin(), hop_headers.end(), header.name) != hop_headers.end();
}

}  // namespace

std::vector<http_header> end_to_end_headers(std::vector<http_header>&& headers) {
    std::erase_if(headers, is_hop_header);
    return std::move(headers);
}

std::vector<http_header> end_to_end_headers(const std::vector<http_header>& headers, std::size_t further) {
    std::vector<http_header> kept;
    kept.reserve(headers.size() + further);
    for (const http_header& header : headers) {
        if (!is_hop_header(header)) {
            kept.push_back(header);
        }
    }
    return kept;
}

}  // namespace persimmongrade
