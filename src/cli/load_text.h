#pragma once
/// Output of `hickorypost load`.

#include "hickorypost/gateway/load_view.h"

#include <string>

namespace hickorypost {

/// Formats one host's load as tables. A table without rows is replaced by a line that says so.
std::string format_load(const gateway::load_view& load);

} // namespace hickorypost
