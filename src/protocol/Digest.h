// SHA-256 and HMAC-SHA-256 in hexadecimal.
#pragma once

#include <string>
#include <string_view>

namespace lychee {

// SHA-256 of `data` as 64 hexadecimal digits.
std::string sha256Hex(std::string_view data);

// HMAC-SHA-256 of `data` under `key` as 64 hexadecimal digits.
std::string hmacSha256Hex(std::string_view key, std::string_view data);

// Compares without revealing by its duration where the texts differ.
bool equalConstantTime(std::string_view left, std::string_view right);

// A random value of 128 bits as 32 hexadecimal digits, from the system's secure source.
std::string randomHex128();

} // namespace lychee
