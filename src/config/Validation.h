// Checks the operators' answers for mistakes that their types cannot prevent.
#ifndef AMARANTHSPUR_CONFIG_VALIDATION_H
#define AMARANTHSPUR_CONFIG_VALIDATION_H

#include "config/Mistake.h"
#include "questionnaire.pb.h"

#include <string>
#include <string_view>
#include <vector>

namespace amaranthspur::config {

/// Returns the mistakes in \p Answers, at most MaxMistakes. The time is linear
/// in the size of the answers, except that it is quadratic in the number of
/// servers of one service, which MaxServersPerService limits.
std::vector<Mistake> validate(const Questionnaire &Answers);

/// Returns whether \p Name is a valid name. A name has 1 to 63 characters of
/// `a-z`, `0-9`, `.` and `-`; the first and the last are letters or digits.
bool isName(std::string_view Name);

/// Returns the estimated one-way latency between two data centres in
/// milliseconds.
double latencyBetween(const Questionnaire &Answers, std::string_view From,
                      std::string_view To);

/// Returns \p Text in quotes for use in a Mistake. Control characters are
/// replaced by `?`, and long texts are truncated.
std::string quoted(std::string_view Text);

} // namespace amaranthspur::config

#endif // AMARANTHSPUR_CONFIG_VALIDATION_H
