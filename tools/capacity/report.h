// Tables of a measurement, their output and linear fits, and what the parts of persimmon-capacity share.

#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "persimmongrade/metrics.h"
#include "record_generated.h"

namespace persimmongrade {

struct table {
    std::string title;
    std::vector<std::string> columns;
    std::vector<std::vector<nlohmann::json>> rows;
};

void print_text(const table& report);
void print_json(const std::vector<table>& reports);

// A table of fits, to which add_fits() adds a row for each named column against the first numeric column `x`.
table make_fit_table(const std::string& title);
void add_fits(table& fits, const table& from, const std::string& group, std::size_t x,
              const std::vector<std::size_t>& columns);

std::size_t heap_bytes();

// Processor time of this process, which other load on the machine disturbs less than elapsed time.
template <typename Action>
double seconds(Action&& action) {
    double start = used_processor_seconds();
    action();
    return used_processor_seconds() - start;
}

template <typename Message, typename Object>
std::vector<std::uint8_t> pack(const Object& message) {
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(Message::Pack(builder, &message));
    return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

}  // namespace persimmongrade
