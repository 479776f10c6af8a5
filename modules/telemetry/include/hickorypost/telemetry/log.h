#pragma once

#include <memory>
#include <spdlog/spdlog.h>
#include <string>

namespace hickorypost::telemetry {

enum class log_form : std::uint8_t { text, json };

/// A logger for one role: one JSON object a line, or text for a terminal. Goes to standard error,
/// so that verbs' output stays clean.
std::shared_ptr<spdlog::logger> make_logger(const std::string& node, log_form form,
                                            spdlog::level::level_enum level);

} // namespace hickorypost::telemetry
