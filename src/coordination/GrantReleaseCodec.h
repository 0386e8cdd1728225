// JSON encoding of a released memory grant, sent by the previous owner of a target to the new one.
#pragma once

#include "coordination/TargetLedger.h"

namespace lychee {

std::string encodeGrantRelease(const GrantRelease& release);

// Fails with ProtocolError::Malformed.
absl::StatusOr<GrantRelease> decodeGrantRelease(std::string_view document);

} // namespace lychee
