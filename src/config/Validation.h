// Checks the operators' answers for mistakes that their types do not exclude.
#ifndef AMARANTHSPUR_CONFIG_VALIDATION_H
#define AMARANTHSPUR_CONFIG_VALIDATION_H

#include "config/Mistake.h"
#include "questionnaire.pb.h"

#include <string>
#include <string_view>
#include <vector>

namespace amaranthspur::config {

/// Returns every mistake in \p Answers, at most MaxMistakes. Linear in the
/// answers, apart from the pairs of servers in one service.
std::vector<Mistake> validate(const Questionnaire &Answers);

/// Returns whether \p Name is a name: 1 to 63 of `a-z 0-9 . -`, the first and
/// the last a letter or a digit.
bool isName(std::string_view Name);

/// Returns the one-way latency between two data centres in milliseconds.
double latencyBetween(const Questionnaire &Answers, std::string_view From,
                      std::string_view To);

/// Returns \p Text in quotes for a mistake: control characters are replaced,
/// long texts are cut.
std::string quoted(std::string_view Text);

} // namespace amaranthspur::config

#endif // AMARANTHSPUR_CONFIG_VALIDATION_H
