// Conversions between ledger values and messages.

#pragma once

#include <memory>

#include "persimmongrade/ledger.h"

namespace persimmongrade {

inline std::unique_ptr<wire::attempt_id_t> to_wire(const ledger_attempt& attempt) {
    auto id = std::make_unique<wire::attempt_id_t>();
    id->edge = attempt.edge;
    id->incarnation = attempt.incarnation;
    id->number = attempt.number;
    return id;
}

inline ledger_attempt from_wire(const wire::attempt_id_t& id) {
    return {id.edge, id.incarnation, id.number};
}

inline std::unique_ptr<wire::stored_answer_t> copy_of(const std::shared_ptr<const wire::stored_answer_t>& answer) {
    return answer == nullptr ? nullptr : std::make_unique<wire::stored_answer_t>(*answer);
}

}  // namespace persimmongrade
