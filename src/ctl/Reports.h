// Formats the JSON responses of the operator interface as readable text.
#pragma once

#include "state/Configuration.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace lychee {

// Members that are absent or of another type are shown as "-"; none of these functions throws.
std::string statusReport(const nlohmann::json& status);

std::string historyReport(const nlohmann::json& history);

std::string requestReport(const nlohmann::json& request);

// The message and the listed errors of an error response.
std::string errorReport(const nlohmann::json& body);

// The version in force and what it changed, after a submit was rejected because of a newer version.
std::string conflictReport(const nlohmann::json& body);

std::string configurationReport(const Configuration& configuration);

} // namespace lychee
