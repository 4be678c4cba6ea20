// UUID version 7 (RFC 9562), the format of idempotency keys. The first 48 bits are the Unix time in milliseconds.

#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

#include "persimmongrade/error.h"

namespace persimmongrade {

// Thrown for a text that is not a UUID version 7 in the form xxxxxxxx-xxxx-7xxx-xxxx-xxxxxxxxxxxx.
class uuid_error : public error {
public:
    using error::error;
};

// Returns the text in canonical lower case. Throws uuid_error.
std::string parse_uuid_v7(std::string_view text);

// Unix time in milliseconds of a UUID version 7. Throws uuid_error.
std::int64_t uuid_v7_time_ms(std::string_view text);

// Creates a UUID version 7 for a Unix time in milliseconds, with random bits from `random`.
std::string make_uuid_v7(std::int64_t unix_ms, std::mt19937_64& random);
std::string make_uuid_v7(std::int64_t unix_ms);  // random bits from std::random_device

}  // namespace persimmongrade
