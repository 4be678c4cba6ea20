#include "persimmongrade/compression.h"

#include <zlib.h>

namespace persimmongrade {

std::vector<std::uint8_t> compress(std::span<const std::uint8_t> bytes) {
    uLongf size = ::compressBound(bytes.size());
    std::vector<std::uint8_t> packed(size);
    // Fails only when memory or the buffer is too small, and the bound is sufficient.
    ::compress2(packed.data(), &size, bytes.data(), bytes.size(), Z_DEFAULT_COMPRESSION);
    packed.resize(size);
    return packed;
}

std::optional<std::vector<std::uint8_t>> decompress(std::span<const std::uint8_t> bytes, std::size_t size) {
    std::vector<std::uint8_t> plain(size);
    uLongf length = size;
    uLong consumed = bytes.size();
    int status = ::uncompress2(plain.data(), &length, bytes.data(), &consumed);
    if (status != Z_OK || length != size || consumed != bytes.size()) {
        return std::nullopt;
    }
    return plain;
}

}  // namespace persimmongrade
