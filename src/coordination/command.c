#include "coordination/command.h"

HrCommand *
hr_command_new (HrCommandKind kind)
{
  HrCommand *command = g_new0 (HrCommand, 1);
  command->kind = kind;
  if (kind == HR_COMMAND_PEER_STATUS)
    command->peer_status = g_new0 (HrPeerStatus, 1);
  return command;
}

void
hr_command_free (HrCommand *command)
{
  if (command->kind == HR_COMMAND_REQUEST)
    g_free (command->request.path);
  else if (command->kind == HR_COMMAND_PEER_STATUS)
    g_free (command->peer_status);
  g_clear_pointer (&command->body, g_bytes_unref);
  g_free (command);
}

void
hr_effect_free (HrEffect *effect)
{
  if (effect->kind == HR_EFFECT_CALL) {
    g_free (effect->call.address);
    g_free (effect->call.path);
  } else if (effect->kind == HR_EFFECT_PEER_STATUS)
    g_free (effect->peer_status);
  g_free (effect->body);
  g_free (effect);
}
