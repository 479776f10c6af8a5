#pragma once

#include "hickorypost/gateway/buffer_budget.h"

#include <functional>
#include <memory>
#include <vector>

namespace hickorypost::gateway {

/// Keeps a whole process within its memory: lowers the budget for requests while the process takes
/// more memory than its budgets account for, and raises it again.
class memory_guard {
public:
    struct budgets {
        std::shared_ptr<buffer_budget> requests; ///< adapted
        std::vector<std::shared_ptr<buffer_budget>> others;
        /// The part of all these that is in the kernel, not in the process.
        std::shared_ptr<buffer_budget> in_kernel;
    };
    struct hooks {
        /// Memory of the process in bytes; 0 if unknown.
        std::function<std::size_t()> resident_bytes;
        /// Returns freed memory to the system.
        std::function<void()> release_freed;
        /// Bytes that the kernel may hold for the process without an account.
        std::function<std::size_t()> kernel_bytes;
    };

    /// `memory`: that the process may use, in bytes; 0: no limit.
    memory_guard(std::size_t memory, budgets accounts, hooks system);

    /// Call regularly.
    void update();
    /// Memory of the process that no budget accounts for, as of the last update.
    [[nodiscard]] std::size_t unaccounted_bytes() const noexcept { return unaccounted_; }

private:
    [[nodiscard]] std::size_t accounted_bytes() const;
    void measure();

    std::size_t memory_;
    budgets accounts_;
    hooks system_;
    std::size_t most_requests_; ///< limit of the budget for requests while there is enough memory
    std::size_t unaccounted_ = 0;
    std::size_t peak_ = 0; ///< of the accounted bytes since freed memory was released
};

} // namespace hickorypost::gateway
