// JSON encoding of the notices about requests that crash targets.
#pragma once

#include "coordination/CrashingRequestTracker.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace lychee {

std::string encodeCrashNotice(const CrashNotice& notice);

// Fails with ProtocolError::Malformed.
absl::StatusOr<CrashNotice> decodeCrashNotice(std::string_view document);

} // namespace lychee
