#include "server_state.h"

#include <utility>

#include "persimmongrade/log.h"

namespace persimmongrade {

namespace {

// A follower does not see when the leader publishes a revision. It assumes the longest delay after the commit.
constexpr duration max_publication_delay = distribution_options{}.publish_interval + 2 * distribution_tick_interval;
constexpr duration submission_timeout = ms(5000);  // after this, the answer is outcome_unknown
constexpr std::size_t max_pending_submissions = 10000;

}  // namespace

void control_server::impl::submit(wire::command_bodyUnion body, exchange_pointer exchange) {
    if (this->submission_queue.size() + this->proposed_entries.size() >= max_pending_submissions) {
        this->refuse(exchange, operator_error::unavailable, "too many submissions are pending");
        return;
    }
    wire::command_t command;
    command.body = std::move(body);
    byte_string payload = encode_command(command);
    if (payload.size() > max_command_bytes) {
        this->refuse(exchange, operator_error::record_too_large,
                     "the record takes " + std::to_string(payload.size()) + " bytes in the log, at most " +
                         std::to_string(max_command_bytes) + " are allowed");
        return;
    }
    this->submission_queue.push_back({std::move(payload), std::move(exchange), this->loop.now()});
    if (!std::exchange(this->is_flush_scheduled, true)) {
        // Submissions that arrive in the same iteration of the event loop share one append and one sync.
        this->loop.after(duration::zero(), [this] { this->flush(); });
    }
}

void control_server::impl::flush() {
    this->is_flush_scheduled = false;
    auto batch = std::exchange(this->submission_queue, {});
    if (!this->refresh_authority()) {
        for (submission& request : batch) {
            this->refuse_not_leader(request.exchange);
        }
        return;
    }
    std::vector<byte_string> payloads;
    payloads.reserve(batch.size());
    for (submission& request : batch) {
        payloads.push_back(std::move(request.payload));
    }
    this->submissions.Increment(static_cast<double>(batch.size()));
    try {
        this->log.propose(this->loop.now(), std::move(payloads), [&](std::uint64_t index, std::uint64_t term) {
            for (submission& request : batch) {
                this->proposed_entries[index++] = {term, std::move(request)};
            }
        });
    } catch (const not_leader_error&) {  // the leadership is being transferred
        for (submission& request : batch) {
            this->refuse_not_leader(request.exchange);
        }
    }
}

// A proposed submission may still be committed by the next leader, so its outcome is unknown.
void control_server::impl::respond_outcome_unknown(const submission& request, const std::string& reason) {
    this->refuse(request.exchange, operator_error::outcome_unknown,
                 reason + "; resend with the same Submission-Id to learn the outcome");
}

void control_server::impl::expire_submissions(time_point now) {
    std::erase_if(this->proposed_entries, [&](auto& item) {
        bool has_expired = now >= item.second.request.received_at + submission_timeout;
        if (has_expired) {
            this->respond_outcome_unknown(item.second.request, "no majority confirmed the submission in time");
        }
        return has_expired;
    });
}

void control_server::impl::apply_entry(const wire::log_entry_t& entry) {
    auto node = this->proposed_entries.extract(entry.index);
    if (entry.kind != wire::entry_kind::command) {
        return;
    }
    wire::command_t command = decode_command(entry.payload);
    std::uint64_t before = this->store.revision();
    wire::submission_result_t result = this->store.apply(command);
    if (this->store.revision() != before && !this->distributor.serving() && changes_limits(command)) {
        this->apply_to_granter(this->loop.now() + max_publication_delay);
    }
    if (node.empty() || !node.mapped().request.exchange) {
        return;
    }
    if (node.mapped().term != entry.term) {
        this->refuse(node.mapped().request.exchange, operator_error::unavailable,
                     "another leader replaced the submission before it was committed");
        return;
    }
    duration taken = this->loop.now() - node.mapped().request.received_at;
    this->acceptance_seconds.Observe(static_cast<double>(taken.count()) / 1000.0);
    node.mapped().request.exchange->respond(result_response(result));
}

bool control_server::impl::changes_limits(const wire::command_t& command) {
    return command.body.Assubmit_record() != nullptr || command.body.Aswithdraw_record() != nullptr;
}

// `superseded_at`: latest time at which the leader grants from older revisions.
void control_server::impl::apply_to_granter(time_point superseded_at, bool skipped) {
    this->granter.apply(this->store.configuration(), superseded_at, skipped);
}

void control_server::impl::batch_applied() {
    this->revision_gauge.Set(static_cast<double>(this->store.revision()));
    this->distribute();
    this->answer_watches();
}

void control_server::impl::install_state(const byte_string& bytes) {
    this->store = record_store::restore(bytes);
    this->apply_to_granter(this->loop.now() + max_publication_delay, true);
}

void control_server::impl::leadership_changed(leadership_change change) {
    log_info("leadership changed", field("leading", change == leadership_change::gained),
             field("term", this->log.term()));
    this->refresh_authority();
    if (change == leadership_change::gained) {
        return;
    }
    this->granter.step_down();
    this->shifts.step_down();
    this->apply_to_granter(this->loop.now() + max_publication_delay);
    auto lost = std::exchange(this->proposed_entries, {});
    for (auto& [index, entry] : lost) {
        this->respond_outcome_unknown(entry.request, "the leader changed");
    }
    for (watch& waiting : std::exchange(this->watches, {})) {
        this->refuse_not_leader(waiting.exchange);
    }
}

}  // namespace persimmongrade
