// Finds duplicate fields in JSON objects.
#ifndef AMARANTHSPUR_CONFIG_DUPLICATEFIELDS_H
#define AMARANTHSPUR_CONFIG_DUPLICATEFIELDS_H

#include "config/Mistake.h"

#include <string_view>
#include <vector>

namespace amaranthspur::config {

/// Returns a mistake for each field of \p Json that occurs again in the same
/// object. JSON parsers silently keep only one of the duplicates. If an
/// operator wrote a list twice, half of its entries would be lost.
/// \pre \p Json is valid JSON.
std::vector<Mistake> duplicateFields(std::string_view Json);

} // namespace amaranthspur::config

#endif // AMARANTHSPUR_CONFIG_DUPLICATEFIELDS_H
