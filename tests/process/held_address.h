#pragma once

#include <string>

namespace hickorypost::testing {

/// Listens on an address of the form IP:PORT, as another process does that has taken it.
class held_address {
public:
    /// Waits until the address is free.
    explicit held_address(const std::string& address);
    ~held_address();
    held_address(const held_address&) = delete;
    held_address& operator=(const held_address&) = delete;

    void release();
    [[nodiscard]] bool holds() const noexcept { return holds_; }

private:
    int fd_;
    bool holds_ = false;
};

} // namespace hickorypost::testing
