#include "hickorypost/telemetry/log.h"

#include "hickorypost/telemetry/event_line.h"

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <spdlog/details/null_mutex.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <unistd.h>

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

/// `%*`: the payload's fields, or the message's text as a field.
class fields_flag final : public spdlog::custom_flag_formatter {
public:
    void format(const spdlog::details::log_msg& msg, const std::tm&,
                spdlog::memory_buf_t& dest) override
    {
        std::string_view raw{msg.payload.data(), msg.payload.size()};
        std::string message;
        if (!raw.empty() && raw.front() == event_line::mark) {
            raw.remove_prefix(1);
        } else {
            message = event_line{"message"}.add("message", raw).payload();
            raw = std::string_view{message}.substr(1);
        }
        dest.append(raw.data(), raw.data() + raw.size());
    }
    [[nodiscard]] std::unique_ptr<custom_flag_formatter> clone() const override
    {
        return std::make_unique<fields_flag>();
    }
};

std::atomic<std::uint64_t> dropped_lines{0};

/// Writes to a descriptor without ever waiting for its reader.
class nonblocking_sink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
public:
    explicit nonblocking_sink(int fd) : fd_{fd}
    {
        if (const int flags = fcntl(fd_, F_GETFL); flags >= 0) {
            (void)fcntl(fd_, F_SETFL, flags | O_NONBLOCK);
        }
    }

private:
    /// Bytes that wait for a slow reader at most.
    static constexpr std::size_t most_pending = std::size_t{256} << 10U;
    /// Bytes gathered before a write without `flush`.
    static constexpr std::size_t write_at = std::size_t{32} << 10U;

    void sink_it_(const spdlog::details::log_msg& msg) override
    {
        if (pending_.size() > most_pending) {
            ++dropped_lines;
            return;
        }
        spdlog::memory_buf_t line;
        formatter_->format(msg, line);
        pending_.append(line.data(), line.size());
        if (pending_.size() >= write_at) {
            flush_();
        }
    }

    void flush_() override
    {
        std::size_t written = 0;
        while (written < pending_.size()) {
            const ssize_t n = write(fd_, pending_.data() + written, pending_.size() - written);
            if (n > 0) {
                written += static_cast<std::size_t>(n);
                continue;
            }
            if (n < 0 && errno == EINTR) {
                continue;
            }
            if (n < 0 && errno != EAGAIN) {
                dropped_lines +=
                    static_cast<std::uint64_t>(std::count(pending_.begin(), pending_.end(), '\n'));
                written = pending_.size(); // closed: nobody will ever read it
            }
            break;
        }
        pending_.erase(0, written);
    }

    int fd_;
    std::string pending_;
};

} // namespace

std::uint64_t dropped_log_lines() noexcept
{
    return dropped_lines;
}

std::shared_ptr<spdlog::logger> make_event_logger(const std::string& node,
                                                  spdlog::level::level_enum level)
{
    auto out =
        std::make_shared<spdlog::logger>(node, std::make_shared<nonblocking_sink>(STDOUT_FILENO));
    out->set_level(level);
    out->flush_on(spdlog::level::warn);
    auto formatter = std::make_unique<spdlog::pattern_formatter>(spdlog::pattern_time_type::utc);
    formatter->add_flag<fields_flag>('*').set_pattern(
        R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","node":"%n",%*})");
    out->set_formatter(std::move(formatter));
    return out;
}

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
