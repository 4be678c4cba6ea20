// Work that requests of one kind need at a target, with and without their object in the target's cache.
//
// Load pattern: many gateways, each of which sees an object so seldom that it rarely knows by its own requests which
// target has it cached, and targets whose caches hold few objects. All gateways send an object to the same target as
// long as its queue is shorter than the work that another target would do without the object; one that goes elsewhere
// also evicts another object there. The two times are therefore told apart: a mean over all answers would make the
// other targets look nearly as fast, once some of them have objects of others.
//
//     work_model work(prior_ms);                       // from the route, before the first answer
//     work.learn(object_state::likely, took_ms);
//     work.expected(object_state::unknown)             // ms

#pragma once

#include <algorithm>
#include <cstdint>

namespace persimmongrade {

// Whether a target is expected to have the object of a request in its cache, which shortens the work.
enum class object_state : std::uint8_t {
    unknown,  // nothing indicates that the target has it
    likely,   // the target ranks first for the object by rendezvous hash in its region
    known,    // the target recently answered a request of this gateway for it
};

class work_model {
public:
    explicit work_model(double prior_ms = 0) : uncached_ms(prior_ms), cached_ms(prior_ms * prior_cached_share) {}

    bool is_initialized() const noexcept { return this->uncached_ms > 0; }

    // `took_ms`: of an answer, at the usual speed of the target's host, without time in a queue.
    void learn(object_state state, double took_ms) {
        if (!this->is_initialized() || took_ms > max_outlier_factor * this->uncached_ms) {
            return;
        }
        // Nearer to the one or the other, by ratio.
        bool was_cached = took_ms * took_ms < this->cached_ms * this->uncached_ms;
        double& mean = was_cached ? this->cached_ms : this->uncached_ms;
        double& answers = was_cached ? this->cached_answers : this->uncached_answers;
        answers += 1;
        mean += (took_ms - mean) * std::max(min_weight, 1 / (answers + 1));
        this->cached_ms = std::min(this->cached_ms, this->uncached_ms);
        if (state == object_state::likely) {
            this->likely_share += ((was_cached ? 1 : 0) - this->likely_share) * share_weight;
        }
    }

    double expected(object_state state) const {
        switch (state) {
        case object_state::known:
            return this->cached_ms;
        case object_state::likely: {
            // While all caches are empty, the target that ranks first must still be preferred: it will have the object.
            double share = std::max(min_likely_share, this->likely_share);
            return this->uncached_ms + (this->cached_ms - this->uncached_ms) * share;
        }
        case object_state::unknown:
            break;
        }
        return this->uncached_ms;
    }

private:
    static constexpr double prior_cached_share = 0.3;  // of the work without the object
    static constexpr double min_weight = 0.03;         // of one answer
    static constexpr double share_weight = 0.03;
    static constexpr double min_likely_share = 0.5;
    static constexpr double max_outlier_factor = 3;  // answers above it are rare requests that need many times the work

    double uncached_ms;
    double cached_ms;
    double cached_answers = 0;
    double uncached_answers = 0;
    double likely_share = 0;  // of the answers of targets that rank first, those that had the object
};

}  // namespace persimmongrade
