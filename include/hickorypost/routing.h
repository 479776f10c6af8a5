#pragma once
/// Choice among backend servers, retry budgets and cascades, for embedding.

#include "hickorypost/routing/cascade_policy.h"
#include "hickorypost/routing/retry_budget.h"
#include "hickorypost/routing/router.h"
