#include "forwarded_headers.h"

#include <algorithm>
#include <array>
#include <iterator>
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

}  // namespace

std::vector<http_header> end_to_end_headers(const std::vector<http_header>& headers) {
    std::vector<http_header> kept;
    std::copy_if(headers.begin(), headers.end(), std::back_inserter(kept), [](const http_header& header) {
        return std::find(hop_headers.begin(), hop_headers.end(), header.name) == hop_headers.end();
    });
    return kept;
}

}  // namespace persimmongrade
