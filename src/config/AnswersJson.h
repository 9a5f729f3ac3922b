// The operators' answers as JSON.
#ifndef AMARANTHSPUR_CONFIG_ANSWERSJSON_H
#define AMARANTHSPUR_CONFIG_ANSWERSJSON_H

#include "config/Mistake.h"
#include "questionnaire.pb.h"

#include <string>
#include <string_view>
#include <vector>

namespace amaranthspur::config {

/// Answers with all mistakes that were found in them.
struct ParsedAnswers {
  Questionnaire Answers; ///< Usable only if there are no mistakes.
  std::vector<Mistake> Mistakes;
};

/// Reads \p Json and checks it. Every mistake is reported at once: syntax,
/// unknown and repeated fields, wrong types, and all that validate() finds.
ParsedAnswers parseAnswers(std::string_view Json);

/// Returns \p Answers as JSON with every field, also those with their default.
std::string formatAnswers(const Questionnaire &Answers);

} // namespace amaranthspur::config

#endif // AMARANTHSPUR_CONFIG_ANSWERSJSON_H
