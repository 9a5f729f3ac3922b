// Conversion of the operators' answers from and to JSON.
#ifndef AMARANTHSPUR_CONFIG_ANSWERSJSON_H
#define AMARANTHSPUR_CONFIG_ANSWERSJSON_H

#include "config/Mistake.h"
#include "questionnaire.pb.h"

#include <string>
#include <string_view>
#include <vector>

namespace amaranthspur::config {

/// The result of parsing: the answers and all mistakes that were found.
struct ParsedAnswers {
  Questionnaire Answers; ///< Valid only if Mistakes is empty.
  std::vector<Mistake> Mistakes;
};

/// Parses and validates \p Json. One call reports every mistake: syntax errors,
/// unknown and duplicate fields, wrong types, and what validate() finds.
ParsedAnswers parseAnswers(std::string_view Json);

/// Returns \p Answers as indented JSON. Fields without presence are written
/// even if they have their default value. Returns an empty string on failure.
std::string formatAnswers(const Questionnaire &Answers);

} // namespace amaranthspur::config

#endif // AMARANTHSPUR_CONFIG_ANSWERSJSON_H
