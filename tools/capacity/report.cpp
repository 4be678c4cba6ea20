#include "report.h"

#include <malloc.h>

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace persimmongrade {

namespace {

std::string to_text(const nlohmann::json& value) {
    if (value.is_string()) {
        return value.get<std::string>();
    }
    if (!value.is_number_float()) {
        return value.dump();
    }
    double number = value.get<double>();
    std::ostringstream out;
    out << std::fixed << std::setprecision(std::abs(number) >= 100 ? 0 : std::abs(number) >= 1 ? 2 : 4) << number;
    return out.str();
}

struct line {
    double slope = 0;
    double intercept = 0;
    double largest_residual = 0;  // of the largest y
};

line fit(const std::vector<std::pair<double, double>>& points) {
    double n = static_cast<double>(points.size());
    double sum_x = 0, sum_y = 0, sum_xx = 0, sum_xy = 0, largest = 0;
    for (const auto& [x, y] : points) {
        sum_x += x;
        sum_y += y;
        sum_xx += x * x;
        sum_xy += x * y;
        largest = std::max(largest, std::abs(y));
    }
    line result;
    double spread = n * sum_xx - sum_x * sum_x;
    result.slope = spread == 0 ? 0 : (n * sum_xy - sum_x * sum_y) / spread;
    result.intercept = (sum_y - result.slope * sum_x) / n;
    for (const auto& [x, y] : points) {
        double residual = std::abs(y - result.intercept - result.slope * x) / std::max(largest, 1e-12);
        result.largest_residual = std::max(result.largest_residual, residual);
    }
    return result;
}

}  // namespace

void print_text(const table& report) {
    std::cout << report.title << "\n";
    std::vector<std::size_t> widths;
    for (std::size_t i = 0; i < report.columns.size(); ++i) {
        widths.push_back(report.columns[i].size());
        for (const auto& row : report.rows) {
            widths[i] = std::max(widths[i], to_text(row[i]).size());
        }
        std::cout << std::setw(static_cast<int>(widths[i]) + 2) << report.columns[i];
    }
    for (const auto& row : report.rows) {
        std::cout << "\n";
        for (std::size_t i = 0; i < row.size(); ++i) {
            std::cout << std::setw(static_cast<int>(widths[i]) + 2) << to_text(row[i]);
        }
    }
    std::cout << "\n\n" << std::flush;
}

void print_json(const std::vector<table>& reports) {
    nlohmann::json result = nlohmann::json::array();
    for (const auto& report : reports) {
        nlohmann::json rows = nlohmann::json::array();
        for (const auto& row : report.rows) {
            nlohmann::json entry;
            for (std::size_t i = 0; i < row.size(); ++i) {
                entry[report.columns[i]] = row[i];
            }
            rows.push_back(entry);
        }
        result.push_back({{"title", report.title}, {"rows", rows}});
    }
    std::cout << result.dump(2) << "\n";
}

// Least squares line through (x, y).
// Adds a row to `fits` for each named column against the first numeric column `x`.
void add_fits(table& fits, const table& from, const std::string& group, std::size_t x,
              const std::vector<std::size_t>& columns) {
    for (std::size_t column : columns) {
        std::vector<std::pair<double, double>> points;
        for (const auto& row : from.rows) {
            if (group.empty() || row[0] == group) {
                points.emplace_back(row[x].get<double>(), row[column].get<double>());
            }
        }
        line result = fit(points);
        fits.rows.push_back({group.empty() ? from.title : group, from.columns[column], from.columns[x],
                             result.slope * 1000, result.intercept, result.largest_residual * 100});
    }
}

table make_fit_table(const std::string& title) {
    return {title, {"of", "value", "x", "slope per 1000 x", "at x = 0", "residual % of largest"}, {}};
}

std::size_t heap_bytes() {
    struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

}  // namespace persimmongrade
