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

/// A logger of structured lines to standard output that never blocks: when the reader stops, lines
/// are dropped and counted. Lines are gathered until `flush`, or until a warning.
/// Payloads of `event_line` become fields; any other text becomes the field `message`.
std::shared_ptr<spdlog::logger> make_event_logger(const std::string& node,
                                                  spdlog::level::level_enum level);

/// Lines that the event logger of this process has dropped because nobody took them.
std::uint64_t dropped_log_lines() noexcept;

} // namespace hickorypost::telemetry
