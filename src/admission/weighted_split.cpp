#include "persimmongrade/weighted_split.h"

#include <numeric>
#include <utility>

#include "hash_fraction.h"

namespace persimmongrade {

namespace {

constexpr double tolerated_surplus = 0.02;  // of all requests, that a part may have beyond its share
constexpr double memory = 400;              // requests over which the shares are kept

}  // namespace

weighted_split::weighted_split(std::vector<double> weights)
    : shares(std::move(weights)), chosen(this->shares.size(), 0.0) {
    double sum = std::accumulate(this->shares.begin(), this->shares.end(), 0.0);
    for (double& share : this->shares) {
        share /= sum;
    }
}

std::size_t weighted_split::choose(std::uint64_t object_hash) {
    if (this->shares.size() == 1) {
        return 0;
    }
    double position = hash_fraction(object_hash);
    std::size_t part = 0;
    for (double sum = this->shares[0]; position >= sum && part + 1 < this->shares.size(); sum += this->shares[part]) {
        ++part;
    }
    auto surplus = [&](std::size_t i, double added) {
        return (this->chosen[i] + added) - this->shares[i] * (this->total + 1);
    };
    bool over = this->shares[part] <= 0 || surplus(part, 1) > tolerated_surplus * this->total + 1;
    if (over) {
        for (std::size_t i = 0; i < this->shares.size(); ++i) {
            if (this->shares[i] > 0 && surplus(i, 1) < surplus(part, 1)) {
                part = i;
            }
        }
    }
    this->chosen[part] += 1;
    this->total += 1;
    if (this->total > memory) {
        for (double& count : this->chosen) {
            count /= 2;
        }
        this->total /= 2;
    }
    return part;
}

}  // namespace persimmongrade
