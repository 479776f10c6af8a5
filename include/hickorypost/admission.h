#pragma once
/// Bounded fair queues, per-account limits and at-most-once tables, for embedding.

#include "hickorypost/admission/admission_queue.h"
#include "hickorypost/admission/attempt_table.h"
#include "hickorypost/admission/rate_limiter.h"
