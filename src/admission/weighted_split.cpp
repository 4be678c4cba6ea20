#include "persimmongrade/weighted_split.h"

#include <numeric>
#include <utility>

#include "hash_fraction.h"

namespace persimmongrade {

namespace {

constexpr double max_surplus_share = 0.02;  // of all requests, by which a part may exceed its share
constexpr double accounting_window = 400;   // number of requests over which the shares are kept

}  // namespace

weighted_split::weighted_split(std::vector<double> weights)
    : shares(std::move(weights)), request_counts(this->shares.size(), 0.0) {
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
        return (this->request_counts[i] + added) - this->shares[i] * (this->total + 1);
    };
    bool exceeds_share = this->shares[part] <= 0 || surplus(part, 1) > max_surplus_share * this->total + 1;
    if (exceeds_share) {
        for (std::size_t i = 0; i < this->shares.size(); ++i) {
            if (this->shares[i] > 0 && surplus(i, 1) < surplus(part, 1)) {
                part = i;
            }
        }
    }
    this->request_counts[part] += 1;
    this->total += 1;
    if (this->total > accounting_window) {
        for (double& count : this->request_counts) {
            count /= 2;
        }
        this->total /= 2;
    }
    return part;
}

}  // namespace persimmongrade
