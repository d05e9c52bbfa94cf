# Bash completion for geraniumslip(1).
_geraniumslip() {
	local cur=${COMP_WORDS[COMP_CWORD]} prev=${COMP_WORDS[COMP_CWORD - 1]}
	local commands="check check-routes diff route status upstreams explain top drain trace"
	local options="--daemon --token-file --json --against --rounds --version --help"

	case "$prev" in
	-t | --token-file | --against | check | check-routes | diff)
		COMPREPLY=($(compgen -f -- "$cur"))
		;;
	-d | --daemon) COMPREPLY=() ;;
	*)
		case "$cur" in
		-*) COMPREPLY=($(compgen -W "$options" -- "$cur")) ;;
		*) COMPREPLY=($(compgen -W "$commands" -f -- "$cur")) ;;
		esac
		;;
	esac
}
complete -F _geraniumslip geraniumslip
