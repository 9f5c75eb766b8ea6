// HMAC-SHA256, optimized for secrets that are used repeatedly.
#pragma once

#include <string>
#include <string_view>

namespace quetzalpaddle {

// Returns the 32 bytes of HMAC-SHA256(Secret, Text). Thread-safe. Aborts the process if OpenSSL
// fails.
std::string computeHmac(std::string_view Secret, std::string_view Text);

} // namespace quetzalpaddle
