// Units of quantities.
#pragma once

#include "protocol/StrongType.h"

namespace lychee {

// Accelerator memory.
using Bytes = StrongNumber<struct BytesTag>;
using TokenCount = StrongNumber<struct TokenCountTag>;

// One gibibyte.
inline constexpr Bytes gibibyte{std::uint64_t{1} << 30};

} // namespace lychee
