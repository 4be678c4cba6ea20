// Chooses the part of a split route for a request, by object where that keeps the shares, so that targets stay warm.
//
// Load pattern: a route split 90 to 10 over two services with a few dozen objects of unequal popularity. By object
// alone the shares would be off by several in a hundred; by turn alone every object would visit every service.

#pragma once

#include <cstdint>
#include <vector>

namespace persimmongrade {

class weighted_split {
public:
    explicit weighted_split(std::vector<double> weights);  // not negative, with a positive sum

    std::size_t choose(std::uint64_t object_hash);

private:
    std::vector<double> shares;
    std::vector<double> chosen;  // requests per part, older ones count less
    double total = 0;
};

}  // namespace persimmongrade
