// Table of settings fields: path, target member of Settings, range and description. Internal to
// settings.cpp and settings_fields.cpp.
#pragma once

#include "settings.h"

#include <span>

namespace quetzalpaddle::settings_table {

struct Name { // 1 to 64 letters, digits, dots, dashes and underscores
  std::string *m_Text;
};
struct Address { // IP address without a port
  std::string *m_Text;
};
struct Secret { // at least 16 bytes
  std::string *m_Text;
};
struct Size { // bytes
  uint32_t *m_Bytes;
};
using Target =
    std::variant<std::string *, Name, Address, Secret, std::vector<std::string> *, bool *, double *,
                 uint32_t *, uint16_t *, Size, Millis *, std::chrono::seconds *>;

struct Field {
  std::string m_Path;
  Target m_Target;
  double m_Min = 0; // inclusive; durations in ms, sizes in bytes; both 0: no range
  double m_Max = 0;
  std::string_view m_Comment;
  bool m_IsRequired = false;
};

constexpr double Second = 1000;
constexpr double Minute = 60 * Second;
constexpr double Hour = 60 * Minute;
constexpr double KiB = 1024;
constexpr double MiB = 1024 * KiB;

struct Unit {
  std::string_view m_Name;
  double m_Factor;
};
constexpr std::array<Unit, 4> DurationUnits = {Unit{"h", Hour}, Unit{"min", Minute},
                                               Unit{"s", Second}, Unit{"ms", 1}};
constexpr std::array<Unit, 3> SizeUnits = {Unit{"MiB", MiB}, Unit{"KiB", KiB}, Unit{"B", 1}};

// Parses a whole number of at most 9 digits followed by a unit, such as "400ms". Returns the value
// in the base unit: ms or bytes.
std::optional<double> parseQuantity(std::string_view Text, std::span<const Unit> Units);

// Formats a value, given in ms or bytes, in the largest unit that yields a whole number.
std::string formatQuantity(double Value, std::span<const Unit> Units);

// Returns all fields, with targets that point into Values.
std::vector<Field> listFields(Settings &Values);

} // namespace quetzalpaddle::settings_table
