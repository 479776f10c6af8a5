#include "hickorypost/telemetry/log.h"

#include <nlohmann/json.hpp>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>

namespace hickorypost::telemetry {

namespace {

/// `%*`: the message as a JSON string, so that any text stays one well-formed line.
class json_text_flag final : public spdlog::custom_flag_formatter {
public:
    void format(const spdlog::details::log_msg& msg, const std::tm&,
                spdlog::memory_buf_t& dest) override
    {
        const std::string raw{msg.payload.data(), msg.payload.size()};
        const std::string quoted =
            nlohmann::json(raw).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        dest.append(quoted.data(), quoted.data() + quoted.size());
    }
    [[nodiscard]] std::unique_ptr<custom_flag_formatter> clone() const override
    {
        return std::make_unique<json_text_flag>();
    }
};

} // namespace

std::shared_ptr<spdlog::logger> make_logger(const std::string& node, log_form form,
                                            spdlog::level::level_enum level)
{
    auto sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
    auto out = std::make_shared<spdlog::logger>(node, std::move(sink));
    out->set_level(level);
    out->flush_on(spdlog::level::info);
    if (form == log_form::text) {
        out->set_pattern("%H:%M:%S.%e %^%l%$ [%n] %v");
        return out;
    }
    auto formatter = std::make_unique<spdlog::pattern_formatter>(spdlog::pattern_time_type::utc);
    formatter->add_flag<json_text_flag>('*').set_pattern(
        R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","node":"%n","message":%*})");
    out->set_formatter(std::move(formatter));
    return out;
}

} // namespace hickorypost::telemetry
