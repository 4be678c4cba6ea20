#include "persimmongrade/retained.h"

#include <vector>

namespace persimmongrade {

void retain_until_exit(std::shared_ptr<void> state) {
    // Never destroyed: destructors at exit would run into callbacks of closed sockets.
    static auto& retained = *new std::vector<std::shared_ptr<void>>();
    retained.push_back(std::move(state));
}

}  // namespace persimmongrade
