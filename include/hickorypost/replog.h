#pragma once
/// A replicated log group with its disk, for embedding.

#include "hickorypost/replog/group.h"
#include "hickorypost/replog/replica_store.h"
#include "hickorypost/replog/sync_task.h"
