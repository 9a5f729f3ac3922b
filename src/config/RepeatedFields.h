// Finds fields that stand twice in one JSON object.
#ifndef AMARANTHSPUR_CONFIG_REPEATEDFIELDS_H
#define AMARANTHSPUR_CONFIG_REPEATEDFIELDS_H

#include "config/Mistake.h"

#include <string_view>
#include <vector>

namespace amaranthspur::config {

/// Returns a mistake for each field of \p Json that stands twice in its object.
/// JSON parsers keep one of them without a word, so that half of an operator's
/// list would be lost. \pre \p Json is valid JSON.
std::vector<Mistake> repeatedFields(std::string_view Json);

} // namespace amaranthspur::config

#endif // AMARANTHSPUR_CONFIG_REPEATEDFIELDS_H
