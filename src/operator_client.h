#pragma once

#include "hickorypost/base/result.h"

#include <string>
#include <string_view>
#include <vector>

namespace hickorypost {

/// A verb could not reach or convince the control hosts.
struct operator_error {
    std::string message;
};

struct operator_reply {
    unsigned status = 0;
    std::string body;
};

/// Speaks to the control hosts' HTTP interface on an operator's behalf; finds the leader by asking.
class operator_client {
public:
    operator_client(std::vector<std::string> urls, std::string key, std::string authority);

    /// Tries every host until one answers other than "not the leader"; fails with `operator_error`.
    /// Safe to repeat: changes carry an identity of their own.
    result<operator_reply> ask_leader(std::string_view method, const std::string& path,
                                      std::string_view body);
    /// What each host answers, unreachable ones with status 0.
    std::vector<operator_reply> ask_all(const std::string& path);

private:
    operator_reply ask(const std::string& url, std::string_view method, const std::string& path,
                       std::string_view body);

    std::vector<std::string> urls_;
    std::string key_;
    std::string authority_;
};

} // namespace hickorypost
