// Chooses the part of a split route for a request. The choice is by hash of the object as long as that keeps the
// configured shares, so that targets stay warm for their objects.
//
//     weighted_split split({90, 10});
//     std::size_t part = split.choose(object_hash);
//
// Load pattern: a route split 90 to 10 over two services, with a few dozen objects of unequal popularity. A choice by
// object alone would miss the shares by several percent; round robin alone would send every object to every service.

#pragma once

#include <cstdint>
#include <vector>

namespace persimmongrade {

class weighted_split {
public:
    explicit weighted_split(std::vector<double> weights);  // none negative, with a positive sum

    std::size_t choose(std::uint64_t object_hash);  // returns the index of the part

private:
    std::vector<double> shares;
    std::vector<double> request_counts;  // requests per part; older requests count less
    double total = 0;                    // sum of `request_counts`
};

}  // namespace persimmongrade
