// Headers that pass through an edge.

#pragma once

#include <vector>

#include "persimmongrade/http.h"

namespace persimmongrade {

// Without headers that concern one connection only, or that the edge sets itself.
std::vector<http_header> end_to_end_headers(std::vector<http_header>&& headers);

// The same as a copy with room for `further` headers.
std::vector<http_header> end_to_end_headers(const std::vector<http_header>& headers, std::size_t further);

}  // namespace persimmongrade
