#include "persimmongrade/uuid.h"

#include <array>
#include <cctype>
#include <cstddef>

#include "persimmongrade/random.h"

namespace persimmongrade {

namespace {

constexpr std::size_t text_length = 36;
constexpr std::size_t version_at = 14;
constexpr std::size_t variant_at = 19;
constexpr int time_digits = 12;
constexpr std::array<char, 16> digits = {'0', '1', '2', '3', '4', '5', '6', '7',
                                         '8', '9', 'a', 'b', 'c', 'd', 'e', 'f'};

bool hyphen_at(std::size_t position) {
    return position == 8 || position == 13 || position == 18 || position == 23;
}

std::int64_t digit_value(char digit) {
    return digit <= '9' ? digit - '0' : digit - 'a' + 10;
}

std::string format(std::int64_t unix_ms, std::uint64_t first, std::uint64_t second) {
    std::string text(text_length, '-');
    auto put = [&text](std::size_t at, std::uint64_t value) { text[at] = digits[value & 0xf]; };
    std::size_t position = 0;
    for (int index = 0; index < 32; ++index, ++position) {
        position += hyphen_at(position) ? 1 : 0;
        if (index < time_digits) {
            put(position, static_cast<std::uint64_t>(unix_ms) >> (4 * (time_digits - 1 - index)));
        } else if (index < 16) {
            put(position, first >> (4 * (index - time_digits)));
        } else {
            put(position, second >> (4 * (index - 16)));
        }
    }
    text[version_at] = '7';
    text[variant_at] = digits[8 | (second & 3)];
    return text;
}

}  // namespace

std::string parse_uuid_v7(std::string_view text) {
    if (text.size() != text_length) {
        throw uuid_error("UUID text is not 36 characters long");
    }
    std::string canonical(text);
    for (std::size_t position = 0; position < text_length; ++position) {
        auto byte = static_cast<unsigned char>(text[position]);
        if (hyphen_at(position) ? byte != '-' : std::isxdigit(byte) == 0) {
            throw uuid_error("UUID text has an invalid character");
        }
        canonical[position] = static_cast<char>(std::tolower(byte));
    }
    char variant = canonical[variant_at];
    if (canonical[version_at] != '7' || variant < '8' || variant > 'b') {
        throw uuid_error("UUID is not of version 7");
    }
    return canonical;
}

std::int64_t uuid_v7_time_ms(std::string_view text) {
    std::string canonical = parse_uuid_v7(text);
    std::int64_t time = 0;
    for (std::size_t position = 0, index = 0; index < static_cast<std::size_t>(time_digits); ++position) {
        if (!hyphen_at(position)) {
            time = time * 16 + digit_value(canonical[position]);
            ++index;
        }
    }
    return time;
}

std::string make_uuid_v7(std::int64_t unix_ms, std::mt19937_64& random) {
    std::uint64_t first = random();
    return format(unix_ms, first, random());
}

std::string make_uuid_v7(std::int64_t unix_ms) {
    std::uint64_t first = random_bits();
    return format(unix_ms, first, random_bits());
}

}  // namespace persimmongrade
