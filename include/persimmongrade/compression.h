// Lossless compression of messages (zlib).

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace persimmongrade {

std::vector<std::uint8_t> compress(std::span<const std::uint8_t> bytes);
// Accepts arbitrary bytes. No value when they are not exactly `size` bytes, compressed.
std::optional<std::vector<std::uint8_t>> decompress(std::span<const std::uint8_t> bytes, std::size_t size);

}  // namespace persimmongrade
