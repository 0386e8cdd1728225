// Generates the configuration from the answers, and explains and compares configurations.
#pragma once

#include "state/Answers.h"
#include "state/Configuration.h"

#include <string>
#include <vector>

namespace lychee {

// The answer from which a value was generated.
struct ValueOrigin {
    // The path of the value in the JSON document, for example "models/kit-list/bytes".
    std::string path;
    std::string value;
    // The section and key of the answer.
    std::string section;
    std::string key;
    // Line of the answer, counted from 1; 0 for a default.
    std::size_t line = 0;
};

// Generates the configuration from the answers. A pure function: equal inputs give equal configurations.
Configuration generateConfiguration(const Answers& answers, ConfigurationVersion version);

// The origin of each generated value.
std::vector<ValueOrigin> explain(const Answers& answers);

// Formats as "PATH = VALUE: [SECTION] KEY, line N" or "..., default".
std::string toString(const ValueOrigin& origin);

// The changes from one configuration to another, one readable line each; versions and the answers' text are left out.
std::vector<std::string> difference(const Configuration& from, const Configuration& to);

} // namespace lychee
