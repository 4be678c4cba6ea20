// h2o 2.2.5 cannot release a loop, a server context or a socket pool that still has connections. Their owners hand such
// state over here when they end before the process, so that late callbacks find it and leak checkers see it as owned.

#pragma once

#include <memory>

namespace persimmongrade {

void retain_until_exit(std::shared_ptr<void> state);

}  // namespace persimmongrade
