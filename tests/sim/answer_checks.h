/* Checks of what users are answered, by one clock that counts every question and answer: an answer
 * to a question that left after another answer had arrived must not be older than that one. */
#pragma once
#include "sim/user.h"
#include "sim/world.h"

/* The newest fact about a job that any user had heard when a question left. */
typedef struct {
  SimJob *job;
  guint64 sent; /* World.answers then */
  double sent_at;
} Question;
Question *question_new (World *world, SimJob *job);
/* An answer of 200 or 201 to this question: nothing older than was heard before it was sent. */
void answer_check (World *world, const Question *question, int status, json_t *body);
/* 404, 400 or 422. */
void answer_unknown (World *world, const Question *question, const char *what, int status);
